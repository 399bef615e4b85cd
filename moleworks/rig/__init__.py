"""The test rig: emulated hosts and clients around the gateway, injected faults, and judges of the recorded history."""
