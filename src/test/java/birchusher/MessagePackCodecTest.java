package birchusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.MessagePackCodec;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MessagePackCodecTest {
    @Test
    void decodingReturnsTheEncodedMap() {
        Map<String, Object> value = Map.of("a", 1L, "b", List.of(true, 2.5, "x"), "c", Map.of("d", 7L));
        assertThat(MessagePackCodec.decode(MessagePackCodec.encode(value))).isEqualTo(value);
    }

    @Test
    void headerWithMoreElementsThanBytesIsRejected() {
        assertThatThrownBy(() -> MessagePackCodec.decode(new byte[] {(byte) 0xdd, 0x7f, 0x7f, 0x7f, 0x7f}))
                .isInstanceOf(InvalidInputException.class);
        assertThatThrownBy(() -> MessagePackCodec.decode(new byte[] {(byte) 0xdf, 0x7f, 0x7f, 0x7f, 0x7f}))
                .isInstanceOf(InvalidInputException.class);
    }

    @Test
    void deepNestingIsRejected() {
        byte[] deep = new byte[5000];
        java.util.Arrays.fill(deep, (byte) 0x91);
        assertThatThrownBy(() -> MessagePackCodec.decode(deep))
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("deep");
    }
}
