package streamorigin

import "galenatrestle/internal/eventlog"

// recordsNotShared is logged if another node did not take records.
type recordsNotShared struct {
	keeper  Node
	records int
	err     error
}

// Name implements eventlog.Event.
func (*recordsNotShared) Name() string { return "stream_records_not_shared" }

// Level implements eventlog.Event.
func (*recordsNotShared) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *recordsNotShared) Fields() eventlog.Fields {
	return eventlog.Fields{"peer": e.keeper.Name, "records": e.records, "error": e.err.Error()}
}

// savingChanged is logged if writing records to the store begins to fail, or works again.
type savingChanged struct{ err error }

// Name implements eventlog.Event.
func (e *savingChanged) Name() string {
	if e.err != nil {
		return "stream_records_not_saved"
	}
	return "stream_records_saved_again"
}

// Level implements eventlog.Event.
func (*savingChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *savingChanged) Fields() eventlog.Fields {
	if e.err == nil {
		return eventlog.Fields{}
	}
	return eventlog.Fields{"error": e.err.Error()}
}

// nodeNotAsked is logged if another node did not say what it knows of a stream.
type nodeNotAsked struct {
	node Node
	err  error
}

// Name implements eventlog.Event.
func (*nodeNotAsked) Name() string { return "stream_origin_not_asked" }

// Level implements eventlog.Event.
func (*nodeNotAsked) Level() eventlog.Level { return eventlog.Routine }

// Fields implements eventlog.Event.
func (e *nodeNotAsked) Fields() eventlog.Fields {
	return eventlog.Fields{"peer": e.node.Name, "error": e.err.Error()}
}
