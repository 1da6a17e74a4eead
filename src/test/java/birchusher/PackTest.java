package birchusher;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Pack;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PackTest {
    @Test
    void mapsComeBackAsTheyWent() {
        Map<String, Object> m = Map.of("a", 1L, "b", List.of(true, 2.5, "x"), "c", Map.of("d", 7L));
        assertThat(Pack.decode(Pack.encode(m))).isEqualTo(m);
    }

    @Test
    void aHeaderThatClaimsMoreThanTheBodyHoldsReservesNothing() {
        assertThatThrownBy(() -> Pack.decode(new byte[] {(byte) 0xdd, 0x7f, 0x7f, 0x7f, 0x7f}))
                .isInstanceOf(InvalidInputException.class);
        assertThatThrownBy(() -> Pack.decode(new byte[] {(byte) 0xdf, 0x7f, 0x7f, 0x7f, 0x7f}))
                .isInstanceOf(InvalidInputException.class);
    }

    @Test
    void deepNestingIsRefusedBeforeTheStackEnds() {
        byte[] deep = new byte[5000];
        java.util.Arrays.fill(deep, (byte) 0x91);
        assertThatThrownBy(() -> Pack.decode(deep))
                .isInstanceOf(InvalidInputException.class)
                .hasMessageContaining("deep");
    }
}
