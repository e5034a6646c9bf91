"""One queue before the engines, for every interface of the product."""

from agatewing.dispatch._dispatcher import Caller
from agatewing.dispatch._dispatcher import Dispatcher
from agatewing.dispatch._dispatcher import Machine
from agatewing.dispatch._dispatcher import Pool
from agatewing.dispatch._dispatcher import PoolQueue
