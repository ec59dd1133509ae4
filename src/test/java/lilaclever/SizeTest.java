package lilaclever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module is to be ported by hand, so it must stay small. */
class SizeTest {
    private static final int MOST_LINES = 1010;
    private static final int MOST_COLUMNS = 110;

    @Test
    void theModuleStaysWithinItsSize() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/lilaclever/DeliveryPolicy.java"));
        long full = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(full <= MOST_LINES, "DeliveryPolicy.java has " + full + " lines that are not blank");
        assertEquals(
                List.of(),
                lines.stream().filter(line -> line.length() > MOST_COLUMNS).toList());
    }
}
