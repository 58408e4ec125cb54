package once

// Idle waits until nothing of the service is on its way.
func (s *Service) Idle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.active > 0 {
		s.quiet.Wait()
	}
}
