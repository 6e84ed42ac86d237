package subscription

// Signal sends to a channel of capacity 1 unless a signal is already pending. It never blocks.
func Signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
