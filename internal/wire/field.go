package wire

// settableHeader is a header of a request or a response.
type settableHeader interface {
	Del(name string)
	Set(name, value string)
}

// SetField sets a field to a single line with the value, whatever lines the header has with that name.
//
// The setters of hertz replace the first line and keep the others, which a foreign message may have brought along.
func SetField(header settableHeader, name, value string) {
	header.Del(name)
	header.Set(name, value)
}
