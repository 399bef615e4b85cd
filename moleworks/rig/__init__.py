"""The rig: emulated hosts and clients round the gateway, faults between, judges of what was seen."""
