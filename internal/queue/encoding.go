package queue

import (
	"bytes"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/quota"
)

// plainCommand is the form of a command that concerns no tenant: the array that versions
// without tenants wrote.
type plainCommand Command

// tenantCommand is the form of one that does: a map, so that fields can be added.
type tenantCommand struct {
	Verb    Verb           `cbor:"1,keyasint"`
	Msg     *Message       `cbor:"2,keyasint,omitempty"`
	Tenant  ids.Tenant     `cbor:"3,keyasint,omitempty"` // of the message
	Reserve *quota.Reserve `cbor:"4,keyasint,omitempty"`
}

// headBits of a first byte tell an array from a map.
const (
	arrayHead = 0x80
	mapHead   = 0xa0
	headBits  = 0xe0
)

// verbKey is the first key of the map: its value is the verb.
const verbKey = 1

// maxVerb is the greatest verb that takes one byte.
const maxVerb = 23

// MarshalCBOR encodes a command in one of its two forms.
func (c Command) MarshalCBOR() ([]byte, error) {
	switch {
	case c.Reserve != nil:
		return codec.Marshal(tenantCommand{Verb: c.Verb, Reserve: c.Reserve})
	case c.Msg != nil && c.Msg.Tenant != "":
		return codec.Marshal(tenantCommand{Verb: c.Verb, Msg: c.Msg, Tenant: c.Msg.Tenant})
	}
	return codec.Marshal(plainCommand(c))
}

// VerbOf reads the verb of an encoded command from its first bytes, however long its message
// is; false: they are not those of a command.
func VerbOf(data []byte) (Verb, bool) {
	if len(data) == 0 {
		return 0, false
	}
	var rest []byte
	switch data[0] & headBits {
	case arrayHead:
		rest = data[1:]
	case mapHead:
		after, found := bytes.CutPrefix(data[1:], []byte{verbKey})
		if !found {
			return 0, false
		}
		rest = after
	}
	if len(rest) == 0 || rest[0] > maxVerb {
		return 0, false
	}
	return Verb(rest[0]), true
}

// UnmarshalCBOR decodes either form.
func (c *Command) UnmarshalCBOR(data []byte) error {
	if len(data) == 0 || data[0]&headBits != mapHead {
		return codec.Unmarshal(data, (*plainCommand)(c))
	}
	var decoded tenantCommand
	if err := codec.Unmarshal(data, &decoded); err != nil {
		return err
	}
	*c = Command{Verb: decoded.Verb, Msg: decoded.Msg, Reserve: decoded.Reserve}
	if c.Msg != nil {
		c.Msg.Tenant = decoded.Tenant
	}
	return nil
}
