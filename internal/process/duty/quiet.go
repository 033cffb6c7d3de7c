package duty

// Quiet is a logger for libraries whose events the proxy logs itself.
type Quiet struct{}

// Debugf discards.
func (Quiet) Debugf(string, ...any) {}

// Infof discards.
func (Quiet) Infof(string, ...any) {}

// Warnf discards.
func (Quiet) Warnf(string, ...any) {}

// Errorf discards.
func (Quiet) Errorf(string, ...any) {}

// Fatalf discards.
func (Quiet) Fatalf(string, ...any) {}
