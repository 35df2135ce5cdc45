package jmdirectory

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// itemFields is the number of fields of an Item that each item has on the wire, as the
// elements of an array. Items with Evacuation, Since or Services have more, which releases
// before evacuations can't read and later ones ignore.
const itemFields = 4

var (
	_ msgpack.CustomEncoder = (*Item)(nil)
	_ msgpack.CustomDecoder = (*Item)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (i *Item) EncodeMsgpack(e *msgpack.Encoder) (err error) {
	fields := []any{i.Revision, i.Route, i.Upstream, i.Common}
	if i.Evacuation != nil || i.Since != 0 || i.Services != nil {
		fields = append(fields, i.Evacuation)
	}
	if i.Since != 0 || i.Services != nil {
		fields = append(fields, i.Since)
	}
	if i.Services != nil {
		fields = append(fields, i.Services)
	}
	if err = e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It ignores fields of later versions.
func (i *Item) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < itemFields {
		return eris.Errorf("item has %d fields, at least %d are needed", n, itemFields)
	}
	*i = Item{}
	if err = d.DecodeMulti(&i.Revision, &i.Route, &i.Upstream, &i.Common); err != nil {
		return err
	}
	for at := itemFields; at < n; at++ {
		switch at {
		case itemFields:
			err = d.Decode(&i.Evacuation)
		case itemFields + 1:
			err = d.Decode(&i.Since)
		case itemFields + 2:
			err = d.Decode(&i.Services)
		default:
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
