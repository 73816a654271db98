package codec

import (
	"encoding/binary"
	"errors"
	"unicode/utf8"
)

// errNotText tells that a string is encoded as text and is not UTF-8.
var errNotText = errors.New("codec: a string is not UTF-8")

// Parts of the first byte of an item.
const (
	majorShift      = 5
	additionalMask  = 0x1f
	majorBytes      = 2 // a byte string
	majorText       = 3 // a text string
	oneByteArgument = 24
	indefinite      = 31
)

// checkReadable tells whether the decoder takes an encoded item, as far as that does not depend
// on the type it is decoded into: its form, its nesting, and that text is UTF-8.
func checkReadable(item []byte) error {
	if err := mode.Wellformed(item); err != nil {
		return err
	}
	return checkText(item)
}

// checkText looks at the text strings in a well-formed item. What arrays, maps and tags hold
// stands after their heads, so one pass over all heads sees every string.
func checkText(item []byte) error {
	for rest := item; len(rest) > 0; {
		major := rest[0] >> majorShift
		additional := rest[0] & additionalMask
		rest = rest[1:]
		argument, size := uint64(additional), 0
		if additional >= oneByteArgument && additional != indefinite {
			size = 1 << (additional - oneByteArgument)
			argument = readArgument(rest[:size])
		}
		rest = rest[size:]
		if additional == indefinite || major != majorBytes && major != majorText {
			continue
		}
		if major == majorText && !utf8.Valid(rest[:argument]) {
			return errNotText
		}
		rest = rest[argument:]
	}
	return nil
}

// readArgument reads a head's argument of 1, 2, 4 or 8 bytes.
func readArgument(b []byte) uint64 {
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	default:
		return binary.BigEndian.Uint64(b)
	}
}
