package birchusher.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.recovery.Reconciliation.ClaimOutcome;
import birchusher.recovery.Reconciliation.ClaimState;
import birchusher.recovery.Reconciliation.Command;
import birchusher.recovery.Reconciliation.OwnerKnowledge;
import birchusher.recovery.Reconciliation.ReportedState;
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
    private record TableRow(
            List<ClaimState> claimStates,
            List<ReportedState> reportedStates,
            List<String> conditions,
            ClaimOutcome outcome,
            Command command) {
        boolean matches(ClaimState r, ReportedState s, OwnerKnowledge k) {
            return claimStates.contains(r)
                    && reportedStates.contains(s)
                    && conditions.stream().allMatch(w -> isTrue(w, k));
        }
    }

    private static boolean isTrue(String word, OwnerKnowledge k) {
        if (word.startsWith("!")) {
            return !isTrue(word.substring(1), k);
        }
        return switch (word) {
            case "before" -> k.reportedBefore();
            case "loose" -> k.startUnanswered();
            case "fenced" -> k.fenced();
            case "told" -> k.endKnown();
            default -> throw new AssertionError("unknown word " + word);
        };
    }

    private static <E extends Enum<E>> List<E> parseConstants(Class<E> e, String cell) {
        return splitCell(cell).stream()
                .map(w -> Enum.valueOf(e, w.toUpperCase(Locale.ROOT)))
                .toList();
    }

    private static List<String> splitCell(String cell) {
        return Arrays.stream(cell.split(","))
                .map(String::strip)
                .filter(w -> !w.isEmpty())
                .toList();
    }

    private static List<TableRow> readTable() throws IOException {
        List<TableRow> l = new ArrayList<>();
        boolean in = false;
        for (String line : Files.readAllLines(Path.of("docs/recovery.md"))) {
            in = line.startsWith("| row | report |") || in && line.startsWith("|");
            String[] cells = line.split("\\|");
            if (in
                    && cells.length == 6
                    && !cells[1].isBlank()
                    && !cells[1].contains("row")
                    && !cells[1].contains("---")) {
                l.add(new TableRow(
                        parseConstants(ClaimState.class, cells[1]),
                        parseConstants(ReportedState.class, cells[2]),
                        splitCell(cells[3]),
                        parseConstants(ClaimOutcome.class, cells[4]).get(0),
                        parseConstants(Command.class, cells[5]).get(0)));
            }
        }
        return l;
    }

    @Test
    void everyCombinationMatchesExactlyOneTableRow() throws IOException {
        List<TableRow> table = readTable();
        assertThat(table).hasSizeGreaterThan(20);
        for (ClaimState r : ClaimState.values()) {
            for (ReportedState s : ReportedState.values()) {
                for (int bits = 0; bits < 16; bits++) {
                    OwnerKnowledge k =
                            new OwnerKnowledge((bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0);
                    List<TableRow> lines =
                            table.stream().filter(x -> x.matches(r, s, k)).toList();
                    assertThat(lines).as("%s %s %s", r, s, k).hasSize(1);
                    assertThat(Reconciliation.claimOutcome(r, s, k))
                            .as("%s %s %s", r, s, k)
                            .isEqualTo(lines.get(0).outcome);
                    assertThat(Reconciliation.command(r, s, k))
                            .as("%s %s %s", r, s, k)
                            .isEqualTo(lines.get(0).command);
                }
            }
        }
    }

    /** What the table must never say, whatever is changed in it. */
    @Test
    void claimsAreReleasedOnlyOnProofAndExitsReapedOnlyWhenUnneeded() {
        for (ClaimState r : ClaimState.values()) {
            for (ReportedState s : ReportedState.values()) {
                for (int bits = 0; bits < 16; bits++) {
                    OwnerKnowledge k =
                            new OwnerKnowledge((bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0);
                    boolean here = r == ClaimState.CLAIMED || r == ClaimState.UNWANTED;
                    if (here
                            && (s == ReportedState.ABSENT && k.startUnanswered()
                                    || s.compareTo(ReportedState.ABSENT) > 0 && s.compareTo(ReportedState.DONE) < 0)) {
                        assertThat(Reconciliation.claimOutcome(r, s, k)).isEqualTo(ClaimOutcome.NOTHING);
                    }
                    if (here || k.endKnown() || k.startUnanswered()) {
                        assertThat(Reconciliation.command(r, s, k)).isNotEqualTo(Command.REAP);
                    }
                    if (r != ClaimState.CLAIMED || s != ReportedState.ABSENT) {
                        assertThat(Reconciliation.command(r, s, k)).isNotEqualTo(Command.START);
                    }
                }
            }
        }
    }
}
