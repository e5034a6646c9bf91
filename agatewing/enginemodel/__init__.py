"""Model of the time that an engine with continuous batching takes."""

from agatewing.enginemodel._cache import block_hashes
from agatewing.enginemodel._cache import BLOCK_TOKENS
from agatewing.enginemodel._cache import PrefixCache
from agatewing.enginemodel._model import EngineModel
from agatewing.enginemodel._model import EngineSpec
from agatewing.enginemodel._model import Sequence
from agatewing.enginemodel._model import StepResult
