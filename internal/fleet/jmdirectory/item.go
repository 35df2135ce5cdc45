package jmdirectory

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// itemFields is the number of fields of an Item in earlier versions, which are the elements
// of an array on the wire. Earlier versions can't read a longer one, so only the items that
// they don't know of have more.
const itemFields = 4

var (
	_ msgpack.CustomEncoder = (*Item)(nil)
	_ msgpack.CustomDecoder = (*Item)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (i *Item) EncodeMsgpack(e *msgpack.Encoder) (err error) {
	fields := []any{i.Revision, i.Route, i.Upstream, i.Common}
	if i.Evacuation != nil {
		fields = append(fields, i.Evacuation)
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
		if at == itemFields {
			err = d.Decode(&i.Evacuation)
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
