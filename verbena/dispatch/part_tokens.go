package dispatch

// PartTokens counts the tokens of shared parts of prompts that were placed at a server that holds them, at another one although a
// server holds them, and that no server held.
type PartTokens struct{ Held, HeldElsewhere, New int }
