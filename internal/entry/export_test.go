package entry

// HeldBytes returns the memory that held answers take beyond their first bytes.
func HeldBytes(h *Handler) int64 { return h.answers.Used() }
