"""Compilation of modules without the text of their docstrings."""

import ast
import types

__all__ = ('compile_source',)

_Documented = ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef


def compile_source(source: bytes, origin: str) -> types.CodeType:
    """Compile a module without the text of its docstrings.

    Parameters
    ----------
    source : bytes
        Text of the module.
    origin : str
        File that tracebacks name.

    Notes
    -----
    A class keeps a docstring of one character: a dataclass without one gets
    its signature as docstring, which must be computed and kept.
    """
    tree = ast.parse(source, origin)
    for node in ast.walk(tree):
        if isinstance(node, _Documented):
            _shorten(node)
    return compile(tree, origin, 'exec', dont_inherit=True)  # noqa: WPS421


def _shorten(node: _Documented) -> None:
    if ast.get_docstring(node, clean=False) is None:
        return
    docstring = node.body[0]
    short: ast.stmt = ast.Pass()
    if isinstance(node, ast.ClassDef):
        short = ast.Expr(ast.Constant('.'))
    node.body[0] = ast.copy_location(short, docstring)
    ast.fix_missing_locations(node.body[0])
