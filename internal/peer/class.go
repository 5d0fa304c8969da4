package peer

const (
	maxShortTokens  = 8_000
	maxMediumTokens = 100_000
)

// ClassOf returns the length class of a prompt with the given number of tokens.
func ClassOf(promptTokens int64) LengthClass {
	switch {
	case promptTokens <= maxShortTokens:
		return ClassShort
	case promptTokens <= maxMediumTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}
