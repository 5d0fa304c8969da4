package entry

// BufferedBytes returns the memory of buffered responses that counts toward the bound: the first bytes of each do not.
func BufferedBytes(h *Handler) int64 { return h.responseMemory.Used() }
