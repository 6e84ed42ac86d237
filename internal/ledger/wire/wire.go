// Package wire converts the ledger's protocol types to protobuf messages and back.
package wire

import (
	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// FromBallot encodes a ballot; the zero ballot is nil.
func FromBallot(ballot protocol.Ballot) *ledgerpb.Ballot {
	if ballot == (protocol.Ballot{}) {
		return nil
	}
	return &ledgerpb.Ballot{Version: ballot.Version, Number: ballot.Number, Owner: ballot.Owner}
}

// ToBallot decodes a ballot; nil is the zero ballot.
func ToBallot(message *ledgerpb.Ballot) protocol.Ballot {
	return protocol.Ballot{Version: message.GetVersion(), Number: message.GetNumber(), Owner: message.GetOwner()}
}

// FromEnsemble encodes an ensemble; an ensemble with version 0 is nil.
func FromEnsemble(ensemble protocol.Ensemble) *ledgerpb.Ensemble {
	if ensemble.Version == 0 {
		return nil
	}
	message := &ledgerpb.Ensemble{
		Partition: uint32(ensemble.Partition), Version: ensemble.Version,
		WriteQuorum: uint32(ensemble.WriteQuorum), WriteId: ensemble.WriteID, Regions: ensemble.Regions,
	}
	for _, member := range ensemble.Members {
		message.Members = append(message.Members, &ledgerpb.Member{
			Store: string(member.Store), Node: member.Node, Zone: member.Zone, Address: member.Address, Joining: member.Joining,
		})
	}
	return message
}

// ToEnsemble decodes an ensemble; nil is an ensemble with version 0.
func ToEnsemble(message *ledgerpb.Ensemble) protocol.Ensemble {
	ensemble := protocol.Ensemble{
		Partition: protocol.PartitionID(message.GetPartition()), Version: message.GetVersion(),
		WriteQuorum: int(message.GetWriteQuorum()), WriteID: message.GetWriteId(), Regions: message.GetRegions(),
	}
	for _, member := range message.GetMembers() {
		ensemble.Members = append(ensemble.Members, protocol.Member{
			Store: protocol.StoreID(member.Store), Node: member.Node, Zone: member.Zone, Address: member.Address, Joining: member.Joining,
		})
	}
	return ensemble
}

// FromProposal encodes a proposal; the absence of a proposal is nil.
func FromProposal(proposal protocol.Proposal) *ledgerpb.Proposal {
	if proposal.Ensemble.Version == 0 {
		return nil
	}
	return &ledgerpb.Proposal{Ballot: FromBallot(proposal.Ballot), Ensemble: FromEnsemble(proposal.Ensemble)}
}

// ToProposal decodes a proposal; nil is the absence of a proposal.
func ToProposal(message *ledgerpb.Proposal) protocol.Proposal {
	return protocol.Proposal{Ballot: ToBallot(message.GetBallot()), Ensemble: ToEnsemble(message.GetEnsemble())}
}

// FromSnapshotInfo encodes a snapshot's description; the absence of a snapshot is nil.
func FromSnapshotInfo(info protocol.SnapshotInfo) *ledgerpb.SnapshotInfo {
	if info.UpTo == 0 {
		return nil
	}
	return &ledgerpb.SnapshotInfo{UpTo: uint64(info.UpTo), KeepFrom: uint64(info.KeepFrom), Size: info.Size, Digest: info.Digest}
}

// ToSnapshotInfo decodes a snapshot's description; nil is the absence of a snapshot.
func ToSnapshotInfo(message *ledgerpb.SnapshotInfo) protocol.SnapshotInfo {
	return protocol.SnapshotInfo{
		UpTo: protocol.Position(message.GetUpTo()), KeepFrom: protocol.Position(message.GetKeepFrom()),
		Size: message.GetSize(), Digest: message.GetDigest(),
	}
}

// FromEntries encodes entries that are sent under ballot. An entry's ballot is included only if it differs from that,
// and its Born ballot only if it differs from the entry's.
func FromEntries(entries []protocol.Entry, ballot protocol.Ballot) []*ledgerpb.Entry {
	messages := make([]*ledgerpb.Entry, 0, len(entries))
	for _, entry := range entries {
		message := &ledgerpb.Entry{Position: uint64(entry.Position), Kind: uint32(entry.Record.Kind), Payload: entry.Record.Payload}
		if entry.Ballot != ballot {
			message.Ballot = FromBallot(entry.Ballot)
		}
		if entry.Born != entry.Ballot {
			message.Born = FromBallot(entry.Born)
		}
		messages = append(messages, message)
	}
	return messages
}

// ToEntries decodes entries that were sent under ballot.
func ToEntries(messages []*ledgerpb.Entry, ballot protocol.Ballot) []protocol.Entry {
	entries := make([]protocol.Entry, 0, len(messages))
	for _, message := range messages {
		entry := protocol.Entry{
			Position: protocol.Position(message.Position), Ballot: ballot,
			Record: protocol.Record{Kind: protocol.RecordKind(message.Kind), Payload: message.Payload},
		}
		if message.Ballot != nil {
			entry.Ballot = ToBallot(message.Ballot)
		}
		entry.Born = entry.Ballot
		if message.Born != nil {
			entry.Born = ToBallot(message.Born)
		}
		entries = append(entries, entry)
	}
	return entries
}

// FromVerdict returns the status for a verdict.
func FromVerdict(verdict protocol.Verdict) ledgerpb.Status {
	switch verdict {
	case protocol.VerdictOK:
		return ledgerpb.Status_STATUS_OK
	case protocol.VerdictRefused:
		return ledgerpb.Status_STATUS_REFUSED
	case protocol.VerdictGap:
		return ledgerpb.Status_STATUS_GAP
	default:
		return ledgerpb.Status_STATUS_INVALID
	}
}

// ToVerdict returns the verdict for a status; ok is false for a status that has no verdict.
func ToVerdict(status ledgerpb.Status) (verdict protocol.Verdict, ok bool) {
	switch status {
	case ledgerpb.Status_STATUS_OK:
		return protocol.VerdictOK, true
	case ledgerpb.Status_STATUS_REFUSED:
		return protocol.VerdictRefused, true
	case ledgerpb.Status_STATUS_GAP:
		return protocol.VerdictGap, true
	case ledgerpb.Status_STATUS_INVALID:
		return protocol.VerdictInvalid, true
	default:
		return 0, false
	}
}
