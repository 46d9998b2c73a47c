package exec

const (
	// defaultResponseBytes is the expected response size of a kind without responses so far.
	defaultResponseBytes = 16 << 10
	// maxSizeKinds is the number of tracked kinds from which on a new kind discards all estimates.
	maxSizeKinds = 256
	// sizeWeight is the weight of a smaller response in the moving average.
	sizeWeight = 0.05
)

// responseSizes estimates the response size of each kind in bytes. A larger response raises the estimate at once, smaller ones
// lower it slowly.
type responseSizes map[string]float64

// bufferBytes returns the buffer space that a call needs: its request, and the expected response or the buffers of a stream.
func (s responseSizes) bufferBytes(item Item) int64 {
	if item.Policy.Stream {
		return item.Bytes + 2*streamBufferBytes
	}
	estimate, found := s[item.Policy.Kind]
	if !found {
		estimate = defaultResponseBytes
	}

	return item.Bytes + int64(estimate)
}

func (s responseSizes) observe(kind string, size int64) {
	if size <= 0 {
		return
	}
	estimate, found := s[kind]
	if !found && len(s) >= maxSizeKinds {
		clear(s)
	}
	if float64(size) > estimate {
		s[kind] = float64(size)

		return
	}
	s[kind] = estimate + sizeWeight*(float64(size)-estimate)
}
