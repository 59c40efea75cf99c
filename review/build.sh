#!/bin/sh
# The stand-ins of the scripts are Python files that use only the standard library, so there is nothing to build.
exec python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 11))'
