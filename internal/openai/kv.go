package openai

// KVSelector is POST /kv/export: which prefix to give out.
type KVSelector struct {
	Model string `json:"model"`
	// Text is the prompt whose cached prefix is asked for.
	Text string `json:"text"`
}

// KVBlocks is the answer of POST /kv/export and the body of POST /kv/import:
// the cached blocks of one prefix, shortest first.
type KVBlocks struct {
	Model  string   `json:"model"`
	Hashes []uint64 `json:"hashes"`
}
