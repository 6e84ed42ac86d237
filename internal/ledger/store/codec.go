package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
)

var namespace = errorx.NewNamespace("ledger_store")

// Error kinds of a store.
var (
	// KindDamaged: data on the disk does not match its checksum, cannot be decoded, or is missing.
	KindDamaged = namespace.NewType("damaged")
	// KindClosed: the store is closed or its disk has failed; it accepts no more requests.
	KindClosed = namespace.NewType("closed")
)

const checksumBytes = 8

// seal prepends a checksum over key and value to value. The key is included so that a value stored under a wrong key is
// detected too.
func seal(key, value []byte) []byte {
	sealed := make([]byte, checksumBytes, checksumBytes+len(value))
	binary.LittleEndian.PutUint64(sealed, checksum(key, value))
	return append(sealed, value...)
}

// unseal checks the checksum and returns the value, which aliases sealed.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, KindDamaged.New("value of %d bytes has no checksum", len(sealed))
	}
	value := sealed[checksumBytes:]
	if binary.LittleEndian.Uint64(sealed) != checksum(key, value) {
		return nil, KindDamaged.New("checksum does not match")
	}
	return value, nil
}

func checksum(key, value []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(value)
	return digest.Sum64()
}

// encodeEntry encodes the kind, the ballot, a flag and the Born ballot if that differs from the ballot, and the payload.
func encodeEntry(entry protocol.Entry) []byte {
	value := make([]byte, 0, 2*binary.MaxVarintLen64+len(entry.Ballot.Owner)+len(entry.Record.Payload)+8)
	value = binary.AppendUvarint(value, uint64(entry.Record.Kind))
	value = appendBallot(value, entry.Ballot)
	if entry.Born == entry.Ballot {
		value = append(value, 0)
	} else {
		value = append(value, 1)
		value = appendBallot(value, entry.Born)
	}
	return append(value, entry.Record.Payload...)
}

func appendBallot(value []byte, ballot protocol.Ballot) []byte {
	value = binary.AppendUvarint(value, ballot.Version)
	value = binary.AppendUvarint(value, ballot.Number)
	value = binary.AppendUvarint(value, uint64(len(ballot.Owner)))
	return append(value, ballot.Owner...)
}

// entryReader decodes an encoded entry; cut is set if the entry is truncated.
type entryReader struct {
	rest      []byte
	truncated bool
}

func (r *entryReader) number() uint64 {
	number, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.truncated = true
		return 0
	}
	r.rest = r.rest[size:]
	return number
}

func (r *entryReader) ballot() protocol.Ballot {
	ballot := protocol.Ballot{Version: r.number(), Number: r.number()}
	length := r.number()
	if length > uint64(len(r.rest)) {
		r.truncated = true
		return protocol.Ballot{}
	}
	ballot.Owner, r.rest = string(r.rest[:length]), r.rest[length:]
	return ballot
}

func decodeEntry(position protocol.Position, value []byte) (protocol.Entry, error) {
	reader := &entryReader{rest: value}
	entry := protocol.Entry{Position: position}
	entry.Record.Kind = protocol.RecordKind(reader.number())
	entry.Ballot = reader.ballot()
	entry.Born = entry.Ballot
	if reader.number() == 1 {
		entry.Born = reader.ballot()
	}
	if reader.truncated {
		return protocol.Entry{}, KindDamaged.New("record is truncated")
	}
	entry.Record.Payload = append([]byte{}, reader.rest...)
	return entry, nil
}

// encodeState encodes the state without its ensemble, which is stored under a key of its own.
func encodeState(state protocol.StoreState) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&ledgerpb.StoreState{
		Promised: wire.FromBallot(state.Promised), Accepted: wire.FromBallot(state.Accepted),
		RecoveredTo: uint64(state.RecoveredTo), First: uint64(state.First), Committed: uint64(state.Committed),
		Consistent: uint64(state.Consistent), Last: uint64(state.Last),
		Snapshot: wire.FromSnapshotInfo(state.Snapshot), Proposal: wire.FromProposal(state.Proposal),
	})
}

func decodeState(value []byte) (protocol.StoreState, error) {
	var message ledgerpb.StoreState
	if err := proto.Unmarshal(value, &message); err != nil {
		return protocol.StoreState{}, KindDamaged.Wrap(err, "decode partition state")
	}
	return protocol.StoreState{
		Promised: wire.ToBallot(message.Promised), Accepted: wire.ToBallot(message.Accepted),
		RecoveredTo: protocol.Position(message.RecoveredTo), First: protocol.Position(message.First),
		Committed: protocol.Position(message.Committed), Consistent: protocol.Position(message.Consistent),
		Last: protocol.Position(message.Last), Snapshot: wire.ToSnapshotInfo(message.Snapshot),
		Proposal: wire.ToProposal(message.Proposal),
	}, nil
}

func encodeEnsemble(ensemble protocol.Ensemble) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(wire.FromEnsemble(ensemble))
}

func decodeEnsemble(value []byte) (protocol.Ensemble, error) {
	var message ledgerpb.Ensemble
	if err := proto.Unmarshal(value, &message); err != nil {
		return protocol.Ensemble{}, KindDamaged.Wrap(err, "decode ensemble")
	}
	return wire.ToEnsemble(&message), nil
}
