package entry

// BufferedBytes returns the memory of buffered responses that counts toward their budget: the first
// uncountedResponseBytes of each do not.
func BufferedBytes(h *Handler) int64 { return h.responseMemory.Used() }
