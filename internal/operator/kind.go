package operator

// KindConfig is the kind of intent that applies a configuration.
const KindConfig = "config"
