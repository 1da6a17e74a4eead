package birchusher.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.recovery.Reconciliation.Known;
import birchusher.recovery.Reconciliation.Order;
import birchusher.recovery.Reconciliation.Row;
import birchusher.recovery.Reconciliation.Shown;
import birchusher.recovery.Reconciliation.Write;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** The table in docs/recovery.md against the code, every combination of its columns. */
class ReconciliationTest {
    private record Line(List<Row> rows, List<Shown> shown, List<String> known, Write write, Order order) {
        boolean covers(Row r, Shown s, Known k) {
            return rows.contains(r) && shown.contains(s) && known.stream().allMatch(w -> holds(w, k));
        }
    }

    private static boolean holds(String word, Known k) {
        if (word.startsWith("!")) {
            return !holds(word.substring(1), k);
        }
        return switch (word) {
            case "before" -> k.before();
            case "loose" -> k.loose();
            case "fenced" -> k.fenced();
            case "told" -> k.told();
            default -> throw new AssertionError("unknown word " + word);
        };
    }

    private static <E extends Enum<E>> List<E> values(Class<E> e, String cell) {
        return words(cell).stream()
                .map(w -> Enum.valueOf(e, w.toUpperCase(Locale.ROOT)))
                .toList();
    }

    private static List<String> words(String cell) {
        return Arrays.stream(cell.split(","))
                .map(String::strip)
                .filter(w -> !w.isEmpty())
                .toList();
    }

    private static List<Line> table() throws IOException {
        List<Line> l = new ArrayList<>();
        boolean in = false;
        for (String line : Files.readAllLines(Path.of("docs/recovery.md"))) {
            in = line.startsWith("| row | report |") || in && line.startsWith("|");
            String[] cells = line.split("\\|");
            if (in
                    && cells.length == 6
                    && !cells[1].isBlank()
                    && !cells[1].contains("row")
                    && !cells[1].contains("---")) {
                l.add(new Line(
                        values(Row.class, cells[1]),
                        values(Shown.class, cells[2]),
                        words(cells[3]),
                        values(Write.class, cells[4]).get(0),
                        values(Order.class, cells[5]).get(0)));
            }
        }
        return l;
    }

    @Test
    void everyCombinationIsInExactlyOneLineAndDoneAsItSays() throws IOException {
        List<Line> table = table();
        assertThat(table).hasSizeGreaterThan(20);
        for (Row r : Row.values()) {
            for (Shown s : Shown.values()) {
                for (int bits = 0; bits < 16; bits++) {
                    Known k = new Known((bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0);
                    List<Line> lines =
                            table.stream().filter(x -> x.covers(r, s, k)).toList();
                    assertThat(lines).as("%s %s %s", r, s, k).hasSize(1);
                    assertThat(Reconciliation.write(r, s, k))
                            .as("%s %s %s", r, s, k)
                            .isEqualTo(lines.get(0).write);
                    assertThat(Reconciliation.order(r, s, k))
                            .as("%s %s %s", r, s, k)
                            .isEqualTo(lines.get(0).order);
                }
            }
        }
    }

    /** What the table must never say, whatever is changed in it. */
    @Test
    void aClaimLeavesOnlyOnProofAndAnExitIsReapedOnlyWhenNothingAsksForIt() {
        for (Row r : Row.values()) {
            for (Shown s : Shown.values()) {
                for (int bits = 0; bits < 16; bits++) {
                    Known k = new Known((bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0);
                    boolean here = r == Row.CLAIMED || r == Row.UNWANTED;
                    if (here
                            && (s == Shown.ABSENT && k.loose()
                                    || s.compareTo(Shown.ABSENT) > 0 && s.compareTo(Shown.DONE) < 0)) {
                        assertThat(Reconciliation.write(r, s, k)).isEqualTo(Write.NOTHING);
                    }
                    if (here || k.told() || k.loose()) {
                        assertThat(Reconciliation.order(r, s, k)).isNotEqualTo(Order.REAP);
                    }
                    if (r != Row.CLAIMED || s != Shown.ABSENT) {
                        assertThat(Reconciliation.order(r, s, k)).isNotEqualTo(Order.START);
                    }
                }
            }
        }
    }
}
