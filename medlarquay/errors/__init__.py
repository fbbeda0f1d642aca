"""Exception hierarchy; each error carries its step and its peer."""

from medlarquay.errors.decode_error import DecodeError
from medlarquay.errors.document_error import DocumentError
from medlarquay.errors.frame_too_large_error import FrameTooLargeError
from medlarquay.errors.link_error import LinkError
from medlarquay.errors.medlarquay_error import MedlarquayError
from medlarquay.errors.request_error import RequestError
from medlarquay.errors.revision_conflict_error import RevisionConflictError
from medlarquay.errors.setting_error import SettingError
from medlarquay.errors.source_error import SourceError

__all__ = (
    'DecodeError',
    'DocumentError',
    'FrameTooLargeError',
    'LinkError',
    'MedlarquayError',
    'RequestError',
    'RevisionConflictError',
    'SettingError',
    'SourceError',
)
