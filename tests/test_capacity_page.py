"""Prove that the page of capacity shows the committed figures."""

import json
import unittest

from bench.slopes import budgets, design, fit, page, roles, sheet


class TestCapacityPage(unittest.TestCase):
    """Compare page and figures."""

    def test_page_matches(self) -> None:
        """The committed page is what ``make capacity`` writes."""
        text = page.PAGE.read_text()
        self.assertEqual(page.render(text, sheet.Figures.load()), text)

    def test_pictures(self) -> None:
        """Each picture that the page shows is committed."""
        shown = page.PICTURE.findall(page.PAGE.read_text())
        self.assertTrue(shown)
        for name in shown:
            self.assertTrue((page.PAGE.parent / name).is_file(), name)

    def test_three_sizes(self) -> None:
        """Each slope was measured at three sizes or more."""
        for name, slope in sheet.Figures.load().data['slopes'].items():
            with self.subTest(slope=name):
                self.assertGreaterEqual(len(slope['sizes']), fit.LEAST_SIZES)

    def test_quick_figures_refused(self) -> None:
        """Figures of a quick run never become the committed ones."""
        with self.assertRaises(SystemExit):
            page.take(json.dumps({'quick': True, 'slopes': {}}))


class TestFit(unittest.TestCase):
    """Fit lines and multiply them."""

    def test_line(self) -> None:
        """A line is found again, in another unit."""
        points = [(size, 2 + 3 * size) for size in (1, 5, 9)]
        slope = fit.fit('line', 'ms', points, scale=1000)
        self.assertAlmostEqual(slope.value, 3000)
        self.assertAlmostEqual(slope.base, 2000)

    def test_two_sizes_refused(self) -> None:
        """Two sizes make no slope, however many points there are."""
        with self.assertRaises(fit.TooFewSizes):
            fit.fit('line', 'ms', [(1, 1), (2, 2), (2, 3)])

    def test_total(self) -> None:
        """A role's total is the sum of the products of its lines."""
        lines = [
            sheet.Line(
                role=roles.ENTRY,
                resource=sheet.Resource.CPU,
                cost='calls',
                factors=(sheet.Factor(100, '/s'), sheet.Factor(50, 'us')),
                scale='us',
                mechanism='',
                is_control=is_control,
            )
            for is_control in (True, False)
        ]
        cpu = sheet.Resource.CPU
        self.assertAlmostEqual(sheet.total(lines, roles.ENTRY, cpu), 1)
        self.assertAlmostEqual(
            sheet.total(lines, roles.ENTRY, cpu, is_control=True),
            0.5,
        )

    def test_spread_claims(self) -> None:
        """More hosts carry more claims only if shards are spread."""
        known = budgets.Claims(leader_us=300, follower_us=150)
        self.assertLess(known.shared(design.CONTROL_HOSTS), 1e6 / 150)
        self.assertAlmostEqual(known.spread(24), 8 * known.spread(3))
