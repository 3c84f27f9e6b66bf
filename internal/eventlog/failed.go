package eventlog

// failed is an error that no caller is told.
type failed struct {
	step string
	err  error
}

// Name implements Event.
func (*failed) Name() string { return "step_failed" }

// Level implements Event.
func (*failed) Level() Level { return Notable }

// Fields implements Event.
func (f *failed) Fields() Fields { return Fields{"step": f.step, "error": f.err.Error()} }
