package protocol

// PrepareAgain takes the ensemble's newer version: the owner asks all members for promises under a ballot of that
// version, and takes no new records until a read quorum has promised. It keeps what it knows of the log. The driver calls
// it only while Phase is PhaseServing.
func (o *Owner) PrepareAgain(ensemble Ensemble) []Action {
	if o.phase != PhaseServing || ensemble.Version <= o.ensemble.Version {
		return nil
	}
	former := o.followers
	o.ensemble = ensemble
	o.ballot = Ballot{Version: ensemble.Version, Number: o.ballot.Number + 1, Owner: o.ballot.Owner}
	o.phase = PhasePreparing
	o.resuming = true
	o.followers = nil
	o.proposing = proposing{}
	for _, member := range ensemble.Members {
		o.followers = append(o.followers, &follower{member: member})
	}
	for _, known := range former {
		if follower := o.find(known.member.Store); follower != nil {
			follower.known = min(max(known.acked, known.known), o.committed)
			follower.first, follower.snapshot, follower.spaceLow = known.first, known.snapshot, known.spaceLow
		}
	}
	return o.Start()
}

// resume goes on once a read quorum has promised the new ballot. Another owner that wrote anything acknowledged since
// the last confirmed ballot shows as accepted in the quorum; the log is then no longer known and the ballot is given up.
// Otherwise nothing but the own records was acknowledged, and those not yet acknowledged are
// written again under the new ballot.
func (o *Owner) resume() []Action {
	for _, follower := range o.followers {
		accepted := follower.promise.Accepted
		if follower.attached && !follower.member.Joining && o.confirmed.Below(accepted) {
			return o.lose(Lost{Cause: LossOutranked, Higher: accepted})
		}
	}
	o.confirmed = o.ballot
	o.recoveredTo = o.last
	o.phase = PhaseRewriting
	return o.advance()
}
