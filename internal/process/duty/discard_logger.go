package duty

// DiscardLogger is a logger that discards all messages. It is for libraries whose
// events the proxy logs itself.
type DiscardLogger struct{}

// Debugf discards the message.
func (DiscardLogger) Debugf(string, ...any) {}

// Infof discards the message.
func (DiscardLogger) Infof(string, ...any) {}

// Warnf discards the message.
func (DiscardLogger) Warnf(string, ...any) {}

// Errorf discards the message.
func (DiscardLogger) Errorf(string, ...any) {}

// Fatalf discards the message. It doesn't end the process.
func (DiscardLogger) Fatalf(string, ...any) {}
