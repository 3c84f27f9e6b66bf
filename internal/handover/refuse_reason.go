package handover

// Reasons by which a message is refused.
const (
	RefusedVersion   = "unsupported_version"
	RefusedUnknown   = "unknown_move"
	RefusedSender    = "wrong_sender"
	RefusedDiffers   = "differs_from_offer"
	RefusedPhase     = "out_of_phase"
	RefusedParts     = "missing_parts"
	RefusedMalformed = "malformed"
	RefusedOverlap   = "overlaps_active_move"
	RefusedEpoch     = "wrong_epoch"
	RefusedExport    = "older_export"
	RefusedBusy      = "not_durable_yet"
)
