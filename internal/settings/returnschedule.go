package settings

// ReturnSchedule makes nodes schedule the returns of refused callers. It has no fields.
type ReturnSchedule struct{}
