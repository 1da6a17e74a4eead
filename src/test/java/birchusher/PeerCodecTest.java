package birchusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import birchusher.mesh.PeerCodec;
import birchusher.mesh.PeerRecord;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
    private static final List<PeerRecord> RECORDS = List.of(
            new PeerRecord.Heartbeat(
                    7,
                    true,
                    List.of(1L, 0L),
                    List.of(0L, 4L),
                    List.of(new PeerRecord.Machine(
                            "n-1",
                            "g8",
                            "a",
                            true,
                            3,
                            1,
                            PeerRecord.Machine.USABLE,
                            10,
                            20,
                            0.9,
                            1,
                            2,
                            3,
                            List.of("i"),
                            List.of(500),
                            List.of("j", "k"),
                            List.of("wk-7/3"))),
                    List.of("n-3"),
                    List.of("n-2")),
            new PeerRecord.Offer(5, true, true, List.of(new PeerRecord.OfferedTask("wk-1", 4, "n-1", 2))),
            new PeerRecord.WithdrawnOffer(List.of(new PeerRecord.OfferedTask("wk-1", 4, "n-1", 2))),
            new PeerRecord.OfferReply(5, List.of("", "no room"), List.of(9L, 0L)),
            new PeerRecord.StopRequest("wk-1", -1, 3, 6.5, "notice"),
            new PeerRecord.ReturnRequest("n-1", true),
            new PeerRecord.AttemptOutcomes(List.of(new PeerRecord.AttemptOutcome("wk-1", 4, 2, "n-1", 1, 9, 0))),
            new PeerRecord.ReturnReply("n-1", false),
            new PeerRecord.DroppedTasks(12),
            new PeerRecord.RevisionQuery(77, 41),
            new PeerRecord.RevisionReply(77, 8, true, 44, 41, List.of(new PeerRecord.Cancellation("wk-9", 43))));

    @Test
    void decodingReturnsTheEncodedRecord() {
        for (PeerRecord record : RECORDS) {
            assertThat(PeerCodec.decode(PeerCodec.encode("perch-1", 8, record)))
                    .isEqualTo(new PeerCodec.Envelope("perch-1", 8, record));
        }
    }

    @Test
    void truncatedRecordIsRejected() {
        for (PeerRecord record : RECORDS) {
            byte[] encoded = PeerCodec.encode("perch-1", 8, record);
            for (int length = 0; length < encoded.length; length++) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThatThrownBy(() -> PeerCodec.decode(truncated)).isInstanceOf(InvalidInputException.class);
            }
        }
    }

    /** Two random bytes of each record are overwritten: decoding may succeed or throw the exception for invalid input, nothing else. */
    @Test
    void corruptedRecordIsDecodedOrRejected() {
        Random random = new Random(5);
        int rejected = 0;
        for (int i = 0; i < 5_000; i++) {
            byte[] bytes = PeerCodec.encode("perch-1", 8, RECORDS.get(i % RECORDS.size()));
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                PeerCodec.decode(bytes);
            } catch (InvalidInputException e) {
                rejected++;
            }
        }
        assertThat(rejected).isGreaterThan(500);
    }
}
