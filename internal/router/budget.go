package router

// takeRetry reports whether the budget has a retry left, and uses it up.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Take(d.now())
}

// setEntryProcesses sets the number of entry processes, which share the retry budget.
func (d *dispatcher) setEntryProcesses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.SetProcesses(max(1, n))
	d.entryProcessCount = n
}

// entryProcesses returns the number of entry processes; zero if it is not known yet.
func (d *dispatcher) entryProcesses() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entryProcessCount
}
