package once

// Idle waits until no call and no copy of the service is in progress.
func (s *Service) Idle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.active > 0 {
		s.quiet.Wait()
	}
}
