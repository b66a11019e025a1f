package command

type experimentCommand struct{}
