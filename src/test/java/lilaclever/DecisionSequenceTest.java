package lilaclever;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares the actions of seeded event sequences, by a digest, with recorded ones. A change of structure must leave
 * every digest as it is; a change of behaviour replaces those it is meant to change, and says so. The digests hold for
 * 64-bit x86, where the JDK's exp and pow give the same results on every machine.
 */
class DecisionSequenceTest {
    @ParameterizedTest
    @CsvSource(textBlock = """
                    0, e84e00e2054e51f8
                    1, 2d67a215fb77dfe1
                    2, 11a79e33ae39dc91
                    3, ebe83409aa09c79c
                    4, 599321c2a9208f03
                    5, e343e8a465666eb5
                    6, aa6e1bf8bb35e797
                    7, fdc10e1281767907
                    8, 5cd98e5c19f007ca
                    9, 589726e7f73cc19b
                    10, a543d60065f109ad
                    11, be03630f5e5188a0
                    12, ae96a6c5353953a2
                    13, 5593657b9eca3077
                    14, e6bb8385f9f92a6c
                    15, 93a95327f29f7fcc
                    16, eb97d8a76c801a9e
                    17, 65d6e26f29b5ebb3
                    18, 2653da6d7571ccfd
                    19, 02890bed6274065e
                    20, b6fd3562dec49e0a
                    21, 6e8cca276e32a3de
                    22, d111142ccc291c70
                    23, a821ea88dd1555e9
                    24, 8e8309b5a8a7e71c
                    25, cf311acb08ef8415
                    26, 06dec756074b5d64
                    27, 8dc51bbda509a2e2
                    28, fce5cc0059248420
                    29, dc8c754c3df74512
                    30, ccf5587fa1b8e5a6
                    31, 58065bc857bbfe54
                    32, e9daf2d4bf145241
                    33, 2fc53d81becc18f7
                    34, 6f2e3a4c5177ad98
                    35, 79f658a540d42749
                    36, b3bce60067978d95
                    37, cd1a1509b9de826b
                    38, d75d67906fb9d96e
                    39, fad9d9ec876a94b2
                    40, e345895fcdb06ded
                    41, bc2e3ff301d30241
                    42, a1c60a39fe4452f9
                    43, 21ba22057e24d5d0
                    44, b4396ba081dd22b9
                    45, c3a692b5dbb07ada
                    46, 19febcce8af3f436
                    47, 3f5b9afb78271256
                    48, e2d961ceef22a747
                    49, 83e41ad1cdc7972f
                    50, 4ac64030a78e5900
                    51, 49594860e73c21d4
                    52, dbc5d128d62d9377
                    53, 35f77255ebcd3a31
                    54, a62f39f8d59d4e31
                    55, f8088fd47956a5e3
                    """)
    void theActionsMatchTheRecordedDigest(long seed, String expected) {
        assertEquals(expected, new DecisionSequence(seed).run());
    }

    /** Guards against sequences that exercise too little: they must lead to every type of action and to many sends. */
    @Test
    void theSequencesCoverAllActionTypes() {
        Set<String> actionTypes = new TreeSet<>();
        int sendCount = 0;
        for (long seed = 0; seed < 8; seed++) {
            DecisionSequence sequence = new DecisionSequence(seed);
            sequence.run();
            actionTypes.addAll(sequence.actionTypes);
            sendCount += sequence.sendCount;
        }
        assertEquals(Set.of("Cancel", "CloseIdle", "Fail", "Refuse", "Send", "Wake", "Watch"), actionTypes);
        assertTrue(sendCount > 1_000, sendCount + " sends");
    }
}
