"""Module that is imported when it is first used."""

import importlib
import sys
import types

__all__ = ('DeferredModule', 'defer_import')


class DeferredModule(types.ModuleType):
    """Module that is imported when an unknown attribute of it is read.

    Notes
    -----
    Special attributes don't cause the import, since the inspection of all
    loaded modules reads them.
    """

    def __getattr__(self, name: str) -> object:
        """Import the module and return its attribute."""
        if name.startswith('__'):
            raise AttributeError(name)
        sys.modules.pop(self.__name__, None)
        imported = importlib.import_module(self.__name__)
        self.__dict__.update(imported.__dict__)
        return getattr(imported, name)


def defer_import(name: str, **known: object) -> None:
    """Put off the import of a module until it is used.

    Parameters
    ----------
    name : str
        Full name of the module; ignored if it is imported already.
    **known : object
        Attributes that may be used without the import.
    """
    if name in sys.modules:
        return
    deferred = DeferredModule(name)
    for attribute, content in known.items():
        setattr(deferred, attribute, content)
    sys.modules[name] = deferred
    package, _, child = name.rpartition('.')
    if package:
        setattr(importlib.import_module(package), child, deferred)
