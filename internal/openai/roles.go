package openai

// Roles returns the roles that a message may have.
func Roles() []string {
	return []string{"system", "developer", RoleUser, RoleAssistant, "tool", "function"}
}
