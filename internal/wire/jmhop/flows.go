package jmhop

import (
	"encoding/binary"

	"github.com/jasminemoor/jasminemoor"
)

// FlowList is a part of the list of an upstream's open flows that an agent hands over when it
// leaves, the body of a datagram of KindFlows. The next agent of the upstream gets it from a
// balancer. The parts of one list have the same Incarnation and Total.
type FlowList struct {
	Incarnation jasminemoor.Incarnation // of the agent that has left
	Upstream    uint16                  // port of its upstream
	// Total is the number of flows in all parts, and First the index of the first one of this
	// part.
	Total, First uint16
	// IsWhole is set if the list has every flow that the upstream can hold, as far as the agent
	// knows.
	IsWhole bool
	Flows   []ListedFlow
}

// ListedFlow is one flow of a FlowList.
type ListedFlow struct {
	Key jasminemoor.FlowKey
	// OpenReply is the sequence number of the upstream's reply to the opening packet, if
	// HasOpenReply is set. LastAck is what the caller acknowledged last, and DataEnd the number
	// after its newest data.
	OpenReply, LastAck, DataEnd uint32
	HasOpenReply                bool
}

const (
	flowListHead   = 8 + 2 + 2 + 2 + 1
	listedFlowSize = FlowKeySize + 3*4 + 1
	// MaxListedFlows is the largest number of flows in one FlowList, so that it fits into a
	// datagram.
	MaxListedFlows = 20
)

// Append appends the list's encoding to b.
func (l *FlowList) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(l.Incarnation))
	b = binary.BigEndian.AppendUint16(b, l.Upstream)
	b = binary.BigEndian.AppendUint16(b, l.Total)
	b = binary.BigEndian.AppendUint16(b, l.First)
	b = append(b, boolByte(l.IsWhole))
	for i := range l.Flows {
		f := &l.Flows[i]
		b = append(b, f.Key[:]...)
		b = binary.BigEndian.AppendUint32(b, f.OpenReply)
		b = binary.BigEndian.AppendUint32(b, f.LastAck)
		b = binary.BigEndian.AppendUint32(b, f.DataEnd)
		b = append(b, boolByte(f.HasOpenReply))
	}
	return b
}

// Unmarshal reads a list from the body of a datagram.
func (l *FlowList) Unmarshal(b []byte) error {
	if len(b) < flowListHead || (len(b)-flowListHead)%listedFlowSize != 0 {
		return ErrShort
	}
	*l = FlowList{
		Incarnation: jasminemoor.Incarnation(binary.BigEndian.Uint64(b)),
		Upstream:    binary.BigEndian.Uint16(b[8:]),
		Total:       binary.BigEndian.Uint16(b[10:]),
		First:       binary.BigEndian.Uint16(b[12:]),
		IsWhole:     b[14] != 0,
	}
	for b = b[flowListHead:]; len(b) > 0; b = b[listedFlowSize:] {
		numbers := b[FlowKeySize:]
		l.Flows = append(l.Flows, ListedFlow{
			Key:          jasminemoor.FlowKey(b[:FlowKeySize]),
			OpenReply:    binary.BigEndian.Uint32(numbers),
			LastAck:      binary.BigEndian.Uint32(numbers[4:]),
			DataEnd:      binary.BigEndian.Uint32(numbers[8:]),
			HasOpenReply: numbers[12] != 0,
		})
	}
	return nil
}

func boolByte(isSet bool) byte {
	if isSet {
		return 1
	}
	return 0
}
