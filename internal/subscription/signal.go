package subscription

// Signal leaves one signal in a channel of length 1, unless one is there already. It never waits.
func Signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
