"""Fair queue and routing of generation requests in front of the engines.

All interfaces of the product queue their generation requests here.
"""

from agatewing.dispatch._dispatcher import Caller
from agatewing.dispatch._dispatcher import Dispatcher
from agatewing.dispatch._dispatcher import Engine
from agatewing.dispatch._dispatcher import Pool
from agatewing.dispatch._dispatcher import PoolQueue
