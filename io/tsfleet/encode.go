package tsfleet

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/io/tspeerapi"
)

const (
	// maxAgeMs is the maximum age in milliseconds that is sent to peers or accepted from
	// them. Higher ages are reduced to it.
	maxAgeMs = uint32(10 * time.Minute / time.Millisecond)
	// maxAccusers is the maximum number of accusers accepted with one update. Further ones
	// are ignored.
	maxAccusers = 16
)

// ageMs returns an age in milliseconds, from 0 to maxAgeMs.
func ageMs(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, time.Duration(maxAgeMs)))
}

// age returns the duration of ms milliseconds, at most maxAgeMs.
func age(ms uint32) time.Duration { return time.Duration(min(ms, maxAgeMs)) * time.Millisecond }

// EncodeMessage converts a message to its wire format.
func EncodeMessage(m tsmember.Message) *tspeerapi.GossipMessage {
	out := &tspeerapi.GossipMessage{From: encodeUpdate(m.From), To: string(m.To), Updates: encodeUpdates(m.Updates)}
	for _, c := range m.Contacts {
		out.Contacts = append(out.Contacts, &tspeerapi.DomainContact{FailureDomain: string(c.FailureDomain), AgeMs: ageMs(c.Age)})
	}
	for _, p := range m.Payloads {
		out.Payloads = append(out.Payloads, &tspeerapi.GossipPayload{Topic: p.Topic, Data: p.Data})
	}
	return out
}

// DecodeMessage validates a message and converts it from its wire format. Errors:
// KindBadRequest.
func DecodeMessage(m *tspeerapi.GossipMessage) (tsmember.Message, error) {
	from, err := decodeSender(m.GetFrom())
	if err != nil {
		return tsmember.Message{}, err
	}
	out := tsmember.Message{From: from, To: turmericshed.Incarnation(m.GetTo())}
	if out.Updates, err = decodeUpdates(m.GetUpdates()); err != nil {
		return tsmember.Message{}, err
	}
	for _, c := range m.GetContacts() {
		out.Contacts = append(out.Contacts, tsmember.Contact{FailureDomain: turmericshed.FailureDomain(c.GetFailureDomain()), Age: age(c.GetAgeMs())})
	}
	for _, p := range m.GetPayloads() {
		out.Payloads = append(out.Payloads, tsmember.Payload{Topic: p.GetTopic(), Data: p.GetData()})
	}
	return out, nil
}

// UnmarshalMessage decodes a serialized message. Errors: KindBadRequest.
func UnmarshalMessage(b []byte) (tsmember.Message, error) {
	var m tspeerapi.GossipMessage
	if err := proto.Unmarshal(b, &m); err != nil {
		return tsmember.Message{}, turmericshed.WrapError(turmericshed.KindBadRequest, err, "gossip message")
	}
	return DecodeMessage(&m)
}

func encodeUpdates(us []tsmember.Update) []*tspeerapi.MemberUpdate {
	out := make([]*tspeerapi.MemberUpdate, 0, len(us))
	for _, u := range us {
		out = append(out, encodeUpdate(u))
	}
	return out
}

func encodeUpdate(u tsmember.Update) *tspeerapi.MemberUpdate {
	out := &tspeerapi.MemberUpdate{
		Name: u.Name, Incarnation: string(u.Incarnation), Epoch: u.Epoch, Seq: u.Seq,
		State: uint32(u.State), Superseded: u.Superseded,
	}
	if u.HasAddresses() {
		out.Region, out.FailureDomain = string(u.Region), string(u.FailureDomain)
		out.CallerAddr, _ = u.CallerAddr.MarshalBinary()
		out.PeerAddr, _ = u.PeerAddr.MarshalBinary()
	}
	for _, a := range u.Accusers {
		out.Accusers = append(out.Accusers, &tspeerapi.MemberAccusation{
			Name: a.Name, FailureDomain: string(a.FailureDomain), AgeMs: ageMs(a.Age),
		})
	}
	return out
}

func decodeUpdates(us []*tspeerapi.MemberUpdate) ([]tsmember.Update, error) {
	out := make([]tsmember.Update, 0, len(us))
	for _, u := range us {
		d, err := decodeUpdate(u)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

// decodeSender is decodeUpdate for the sender's own record, which must have addresses.
func decodeSender(u *tspeerapi.MemberUpdate) (tsmember.Update, error) {
	out, err := decodeUpdate(u)
	if err == nil && !out.HasAddresses() {
		err = turmericshed.NewError(turmericshed.KindBadRequest, "sender %q without address", out.Name)
	}
	return out, err
}

func decodeUpdate(u *tspeerapi.MemberUpdate) (tsmember.Update, error) {
	out := tsmember.Update{
		Epoch: u.GetEpoch(), Seq: u.GetSeq(), State: turmericshed.MemberState(u.GetState()), Superseded: u.GetSuperseded(),
	}
	out.Name, out.Incarnation = u.GetName(), turmericshed.Incarnation(u.GetIncarnation())
	if out.Name == "" || out.Incarnation == "" || out.State < turmericshed.MemberAlive || out.State > turmericshed.MemberLeft {
		return out, turmericshed.NewError(turmericshed.KindBadRequest, "member update without name, incarnation or state")
	}
	out.Region, out.FailureDomain = turmericshed.Region(u.GetRegion()), turmericshed.FailureDomain(u.GetFailureDomain())
	var err error
	if out.CallerAddr, err = decodeAddr(u.GetCallerAddr()); err != nil {
		return out, err
	}
	if out.PeerAddr, err = decodeAddr(u.GetPeerAddr()); err != nil {
		return out, err
	}
	for _, a := range u.GetAccusers()[:min(len(u.GetAccusers()), maxAccusers)] {
		out.Accusers = append(out.Accusers, tsmember.Accusation{
			Name: a.GetName(), FailureDomain: turmericshed.FailureDomain(a.GetFailureDomain()), Age: age(a.GetAgeMs()),
		})
	}
	return out, nil
}

func decodeAddr(b []byte) (netip.AddrPort, error) {
	var addr netip.AddrPort
	if len(b) == 0 {
		return addr, nil
	}
	if err := addr.UnmarshalBinary(b); err != nil {
		return addr, turmericshed.WrapError(turmericshed.KindBadRequest, err, "member address")
	}
	return addr, nil
}

func encodeSync(r tsmember.SyncRequest) *tspeerapi.SyncRequest {
	return &tspeerapi.SyncRequest{From: encodeUpdate(r.From), Digests: r.Digests[:]}
}

func decodeSync(r *tspeerapi.SyncRequest) (tsmember.SyncRequest, error) {
	var out tsmember.SyncRequest
	from, err := decodeSender(r.GetFrom())
	if err != nil {
		return out, err
	}
	out.From = from
	if len(r.GetDigests()) != len(out.Digests) {
		return out, turmericshed.NewError(turmericshed.KindBadRequest, "%d digests", len(r.GetDigests()))
	}
	copy(out.Digests[:], r.GetDigests())
	return out, nil
}

// EncodeSyncReply converts the answer of an anti-entropy exchange to its wire format.
func EncodeSyncReply(r tsmember.SyncReply) *tspeerapi.SyncReply {
	return &tspeerapi.SyncReply{Updates: encodeUpdates(r.Updates)}
}

func decodeSyncReply(r *tspeerapi.SyncReply) (tsmember.SyncReply, error) {
	us, err := decodeUpdates(r.GetUpdates())
	return tsmember.SyncReply{Updates: us}, err
}
