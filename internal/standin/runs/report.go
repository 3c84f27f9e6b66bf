package runs

// Totals count over all runs, dropped ones included.
type Totals struct {
	Begun     int64 `json:"begun"`
	Completed int64 `json:"completed"`
	Cancelled int64 `json:"cancelled"`
	Crashed   int64 `json:"crashed"`
	// Tokens counts those of ended runs.
	Tokens int64 `json:"tokens"`
}

// Report answers GET /standin/{name}/runs.
type Report struct {
	// Runs are the newest ones, oldest first.
	Runs []Run `json:"runs"`
	// Dropped counts older runs that are no longer listed.
	Dropped int64  `json:"dropped"`
	Totals  Totals `json:"totals"`
}
