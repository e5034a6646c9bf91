"""HTTP server, and HTTP clients for targets and the platform."""

from agatewing.net._address import split_address
from agatewing.net._http_client import call_once
from agatewing.net._http_client import CallOnce
from agatewing.net._http_client import Headers
from agatewing.net._http_client import HttpAnswer
from agatewing.net._http_client import HttpClient
from agatewing.net._http_client import MaySend
from agatewing.net._http_client import SendForbiddenError
from agatewing.net._http_client import STATUS_CODES
from agatewing.net._http_client import StreamAnswer
from agatewing.net._http_server import Application
from agatewing.net._http_server import Environ
from agatewing.net._http_server import reply_json
from agatewing.net._http_server import Server
from agatewing.net._http_server import StartResponse
from agatewing.net._problem import CONTENT_TYPE
from agatewing.net._problem import encode
from agatewing.net._problem import headers
from agatewing.net._problem import status_line
from agatewing.net._sockets import ClientSocket
from agatewing.net._sockets import connect
from agatewing.net._sockets import peer_address
from agatewing.net._sockets import reset_on_close
from agatewing.net._turns import Turn
from agatewing.net._turns import turns_ended
