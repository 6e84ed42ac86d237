package protocol

// PrepareAgain moves the owner to a newer version of the ensemble. It requests promises from all members under a
// ballot of that version and accepts no new records until a read quorum has promised. The owner's knowledge of
// the log is kept. The driver calls it only in PhaseServing.
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
	o.proposal = ensembleProposal{}
	for _, member := range ensemble.Members {
		o.followers = append(o.followers, &follower{member: member})
	}
	for _, known := range former {
		if follower := o.find(known.member.Store); follower != nil {
			follower.priorAcked = min(max(known.acked, known.priorAcked), o.committed)
			follower.first, follower.snapshot, follower.spaceLow = known.first, known.snapshot, known.spaceLow
		}
	}
	return o.Start()
}

// resume continues after PrepareAgain, once a read quorum has promised the new ballot. If another owner has had
// a record acknowledged since the last confirmed ballot, a store of the quorum has accepted a higher ballot than
// that; this owner's log is then out of date and it gives up its ballot. Otherwise only this owner's records were
// acknowledged, and its unacknowledged ones are rewritten under the new ballot.
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
