"""Load, merge and check a base file and its overlays."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import msgspec

from currantreach_config._checks import check_base, check_overlay
from currantreach_config._documents import (
    DOCUMENT_LIMIT_BYTES,
    parse_document,
    read_document,
)
from currantreach_config._faults import Findings
from currantreach_config._model import CellConfig
from currantreach_config._schema import Checker

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_config._faults import FileFindings

__all__ = ('check_documents', 'check_files')

_ROOT: Final = '$'
_SITE: Final = 'site'
_UPPER_LIMIT: Final = 'upper_limit'
_MERGED_SECTIONS: Final = ('teams', 'queues')
_Parsed = tuple[dict[str, Any] | None, 'FileFindings']


def check_files(
    base_path: str | Path,
    overlay_paths: Sequence[str | Path] = (),
) -> CellConfig:
    """Merge and check a base file and overlays, applied in order.

    :raises ConfigurationFaultsError: with all faults of all files.
    """
    findings = Findings()
    return _check(
        _load(Path(base_path), findings),
        [_load(Path(path), findings) for path in overlay_paths],
        findings,
    )


def check_documents(
    base: bytes,
    overlays: Sequence[tuple[str, bytes]] = (),
    base_name: str = 'base',
) -> CellConfig:
    """Merge and check documents; overlays are pairs of name and content.

    :raises ConfigurationFaultsError: with all faults of all documents.
    """
    findings = Findings()
    documents = [(base_name, base), *overlays]
    parsed = [
        _parse(document, findings.for_file(name))
        for name, document in documents
    ]
    return _check(parsed[0], parsed[1:], findings)


def _load(path: Path, findings: Findings) -> _Parsed:
    file_findings = findings.for_file(str(path))
    body = read_document(path, file_findings)
    if body is None:
        return None, file_findings
    return _parse(body, file_findings)


def _parse(body: bytes, file_findings: FileFindings) -> _Parsed:
    return parse_document(body, file_findings), file_findings


def _check(
    base: _Parsed,
    overlays: Sequence[_Parsed],
    findings: Findings,
) -> CellConfig:
    document, base_findings = base
    overlay_documents = [overlay for overlay, _ in overlays if overlay]
    if document is not None:
        # A base file for several sites leaves the site to the overlay.
        document_with_site = {**_first_site(overlay_documents), **document}
        checker = Checker(base_findings, is_overlay=False)
        checker.check_object(document_with_site, CellConfig, _ROOT)
        check_base(document, base_findings)
    for overlay, overlay_findings in overlays:
        _check_overlay(overlay, document, overlay_findings)
    findings.raise_if_any()
    return _build(document or {}, overlay_documents, base_findings, findings)


def _first_site(overlays: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    for overlay in overlays:
        site = overlay.get(_SITE)
        if site is not None:
            return {_SITE: site}
    return {}


def _check_overlay(
    overlay: dict[str, Any] | None,
    base: dict[str, Any] | None,
    findings: FileFindings,
) -> None:
    if overlay is None:
        return
    checker = Checker(findings, is_overlay=True)
    checker.check_object(overlay, CellConfig, _ROOT)
    if base is not None:
        check_overlay(overlay, base, findings)


def _build(
    document: dict[str, Any],
    overlays: Sequence[dict[str, Any]],
    base_findings: FileFindings,
    findings: Findings,
) -> CellConfig:
    for overlay in overlays:
        document = _merge(document, overlay)
    cell = msgspec.convert(document, CellConfig)
    if len(msgspec.json.encode(cell)) > DOCUMENT_LIMIT_BYTES:
        base_findings.report(
            _ROOT,
            'the merged configuration is larger than 1 MB',
            'remove teams, queues or keys',
        )
        findings.raise_if_any()
    return cell


def _merge(base: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    merged = {**base, **overlay}
    for section in _MERGED_SECTIONS:
        merged[section] = _merge_named(
            base[section],
            overlay.get(section, ()),
        )
    merged['limits'] = {**base.get('limits', {}), **overlay.get('limits', {})}
    return merged


def _merge_named(
    base: Sequence[dict[str, Any]],
    changes: Sequence[dict[str, Any]],
) -> list[dict[str, Any]]:
    merged = {entry['name']: entry for entry in base}
    for change in changes:
        name = change['name']
        merged[name] = _merge_entry(merged[name], change)
    return list(merged.values())


def _merge_entry(
    entry: dict[str, Any],
    change: dict[str, Any],
) -> dict[str, Any]:
    limit = change.get(_UPPER_LIMIT)
    if limit is None:
        return {**entry, **change}
    return {
        **entry,
        **change,
        _UPPER_LIMIT: {**entry[_UPPER_LIMIT], **limit},
    }
