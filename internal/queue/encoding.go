package queue

import (
	"github.com/fxamacker/cbor/v2"

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

// mapHead and headBits tell a map by its first byte.
const (
	mapHead  = 0xa0
	headBits = 0xe0
)

// MarshalCBOR encodes a command in one of its two forms.
func (c Command) MarshalCBOR() ([]byte, error) {
	switch {
	case c.Reserve != nil:
		return cbor.Marshal(tenantCommand{Verb: c.Verb, Reserve: c.Reserve})
	case c.Msg != nil && c.Msg.Tenant != "":
		return cbor.Marshal(tenantCommand{Verb: c.Verb, Msg: c.Msg, Tenant: c.Msg.Tenant})
	}
	return cbor.Marshal(plainCommand(c))
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
