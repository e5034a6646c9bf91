"""The main job on an example deployment, with embedded stand-ins."""
