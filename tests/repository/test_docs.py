"""Pages name only what is there: files, modules and their public names, targets of links."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

from paths import ROOT

TOP_FOLDERS = ("myrtlehub", "docs", "benchmarks", "tests", "examples", "scenarios", "deploy", "lab")
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
QUOTED = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
PATH = re.compile(r"[\w.-]+(?:/[\w.-]+)*/?")
DOTTED = re.compile(r"[a-z_][a-z0-9_]*(?:\.[A-Za-z_]\w*)+")
CODE_SUFFIXES = (".py", ".md", ".yaml", ".toml", ".proto", ".txt")
# former names: a marked table of renames, and `(then ...)` beside the present name in a report of results
FORMER = re.compile(r"<!-- renames -->.*?<!-- end of renames -->|\(then `[^`\n]+`\)", re.DOTALL)


def pages() -> Iterator[tuple[str, str]]:
    """Name and text of each page that describes the present tree."""
    for path in sorted([*ROOT.glob("docs/**/*.md"), ROOT / "README.md"]):
        yield str(path.relative_to(ROOT)), path.read_text()
    newest = (ROOT / "CHANGELOG.md").read_text().split("\n## ")[1]
    yield "CHANGELOG.md", newest


def is_there(name: str) -> bool:
    """Whether a quoted path exists, from the root or within the package."""
    return any((base / name).exists() for base in (ROOT, ROOT / "myrtlehub"))


def failed_path(name: str) -> bool:
    """Whether this is clearly a path of the tree, and leads nowhere."""
    if not PATH.fullmatch(name) or ".." in name:
        return False
    first = name.split("/")[0]
    if "/" not in name:
        return False
    packages = {path.name for path in (ROOT / "myrtlehub").iterdir() if path.is_dir()}
    if first in TOP_FOLDERS:
        return not is_there(name)
    # in a package: a file or folder, or a module named without its suffix
    return first in packages and not (is_there(name) or is_there(f"{name}.py"))


def module_file(parts: list[str]) -> tuple[Path | None, list[str]]:
    """The file of the longest prefix that is a module or package, and what is left of the name."""
    for count in range(len(parts), 0, -1):
        path = ROOT.joinpath("myrtlehub", *parts[:count])
        if path.with_suffix(".py").is_file():
            return path.with_suffix(".py"), parts[count:]
        if path.is_dir():
            return path / "__init__.py", parts[count:]
    return None, parts


def has_name(path: Path, names: list[str]) -> bool:
    """Whether a module defines a name, and that one the next, as far as its source says."""
    body = ast.parse(path.read_text()).body
    for name in names:
        found = [node for node in body if name in defined(node)]
        if not found:
            return False
        if not isinstance(found[0], ast.ClassDef):
            return True
        body = [*found[0].body, *attributes(found[0])]
    return True


def attributes(of_class: ast.ClassDef) -> list[ast.stmt]:
    """Assignments to attributes of `self` in a class."""
    return [node for node in ast.walk(of_class) if isinstance(node, ast.Assign | ast.AnnAssign)]


def defined(node: ast.stmt) -> set[str]:
    """Names that a statement defines; an attribute by its own name."""
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
        return {node.name}
    if isinstance(node, ast.Import | ast.ImportFrom):
        return {alias.asname or alias.name for alias in node.names}
    targets = node.targets if isinstance(node, ast.Assign) else [getattr(node, "target", None)]
    flat = [part for target in targets if target is not None for part in ast.walk(target)]
    return {part.attr if isinstance(part, ast.Attribute) else getattr(part, "id", "") for part in flat}


def failed_name(name: str) -> bool:
    """Whether this is clearly a dotted name of ours, and nothing has it."""
    if not DOTTED.fullmatch(name) or name.endswith(CODE_SUFFIXES):
        return False
    parts = name.split(".")
    if parts[0] == "myrtlehub":
        if parts[1] == "v1":  # a service of the protocol
            return False
        parts = parts[1:]
    elif not is_module_reference(parts):
        return False
    path, rest = module_file(parts)
    return path is None or (bool(rest) and not has_name(path, rest))


def is_module_reference(parts: list[str]) -> bool:
    """Whether a name without `myrtlehub.` means code: `package.module` or `package.module.Class`.

    A word like `limits.sockets` is a setting where no class stands in it, so those are left out.
    """
    packages = {path.name for path in (ROOT / "myrtlehub").iterdir() if path.is_dir()}
    return parts[0] in packages and any(part[:1].isupper() for part in parts[1:])


def failures_of(page: str, text: str) -> Iterator[str]:
    """A line for each name of a page that leads nowhere."""
    text = FORMER.sub("", text)
    for target in LINK.findall(text):
        if "://" not in target and not (ROOT / page).parent.joinpath(target).exists():
            yield f"{page}: link to {target}"
    for quoted in QUOTED.findall(FENCE.sub("", text)):
        for word in quoted.split():
            name = word.strip("(),;:")
            if failed_path(name) or failed_name(name.removesuffix("()")):
                yield f"{page}: `{name}`"


def test_all_that_pages_name_is_there() -> None:
    failures = [line for page, text in pages() for line in failures_of(page, text)]
    assert not failures, "\n".join(["", *dict.fromkeys(failures)])


def test_a_wrong_path_name_or_link_is_found() -> None:
    text = (
        "`myrtlehub/none.py` and `docs/none.md`, `node/none`, `node.action_executor.None_`, "
        "`myrtlehub.none`, [a](none.md); "
        "not `docs/glossary.md`, `node/action_executor`, `node.action_executor.ActionExecutor`, "
        "`limits.sockets`, `myrtlehub.v1.Chat`, `docs/*.md`, `myrtlehub/{name}.py`, [b](docs/glossary.md)"
    )
    assert [line.removeprefix("README.md: ") for line in failures_of("README.md", text)] == [
        "link to none.md",
        "`myrtlehub/none.py`",
        "`docs/none.md`",
        "`node/none`",
        "`node.action_executor.None_`",
        "`myrtlehub.none`",
    ]


def test_former_names_that_are_marked_are_left_out() -> None:
    text = (
        "<!-- renames -->\n| `myrtlehub/decide.py` |\n<!-- end of renames -->\n"
        "`docs/glossary.md` (then `docs/words.md`) and `myrtlehub/none.py`"
    )
    assert list(failures_of("CHANGELOG.md", text)) == ["CHANGELOG.md: `myrtlehub/none.py`"]
