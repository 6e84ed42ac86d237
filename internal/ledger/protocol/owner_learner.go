package protocol

import "slices"

// Learn starts to copy the log to a store that is not a member, in place of any other learner. A learner counts for no
// quorum, so that its state affects neither appends nor recovery. Once it has caught up, it can become a member without
// a time in which the ensemble has fewer usable copies. A change of the ensemble ends the learning; what the store holds
// by then is not copied again. It does nothing unless the owner is serving.
func (o *Owner) Learn(store Member) []Action {
	if o.phase != PhaseServing || o.find(store.Store) != nil {
		return nil
	}
	o.StopLearning()
	store.Joining = true
	learner := &follower{member: store, learner: true}
	o.followers = append(o.followers, learner)
	return []Action{o.prepare(learner)}
}

// StopLearning ends the copying to the learner, if there is one.
func (o *Owner) StopLearning() {
	o.followers = slices.DeleteFunc(o.followers, func(follower *follower) bool { return follower.learner })
}
