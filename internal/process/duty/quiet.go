package duty

// Quiet is a logger that discards all messages. It is for libraries whose
// events the proxy logs itself.
type Quiet struct{}

// Debugf discards the message.
func (Quiet) Debugf(string, ...any) {}

// Infof discards the message.
func (Quiet) Infof(string, ...any) {}

// Warnf discards the message.
func (Quiet) Warnf(string, ...any) {}

// Errorf discards the message.
func (Quiet) Errorf(string, ...any) {}

// Fatalf discards the message. It doesn't end the process.
func (Quiet) Fatalf(string, ...any) {}
