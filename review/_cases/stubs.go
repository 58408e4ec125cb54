package main

func runMemory(b *bed, trouble bool) (result, error)    { return result{}, errSetup }
func runDrain(b *bed, trouble bool) (result, error)     { return result{}, errSetup }
func runCutStream(b *bed, trouble bool) (result, error) { return result{}, errSetup }
func runHalfClose(b *bed, trouble bool) (result, error) { return result{}, errSetup }
func runReplica([]string) int                           { return 2 }
