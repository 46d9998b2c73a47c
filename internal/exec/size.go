package exec

const (
	// firstSize is expected of the answer of a kind that is not known yet.
	firstSize = 16 << 10
	sizeKinds = 256
	sizeShare = 0.05
)

// sizes follows the size of the answers of each kind in bytes, quickly up and slowly down.
type sizes map[string]float64

// expect returns what a call will hold in buffers: its request, and its answer or the windows of a stream.
func (s sizes) expect(item Item) int64 {
	if item.Policy.Stream {
		return item.Bytes + 2*streamWindow
	}
	known, found := s[item.Policy.Kind]
	if !found {
		known = firstSize
	}

	return item.Bytes + int64(known)
}

func (s sizes) learn(kind string, size int64) {
	if size <= 0 {
		return
	}
	known, found := s[kind]
	if !found && len(s) >= sizeKinds {
		clear(s)
	}
	if float64(size) > known {
		s[kind] = float64(size)

		return
	}
	s[kind] = known + sizeShare*(float64(size)-known)
}
