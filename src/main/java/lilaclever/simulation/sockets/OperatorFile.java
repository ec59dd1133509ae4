package lilaclever.simulation.sockets;

import java.util.Locale;
import lilaclever.simulation.scenario.Scenario;

/** The operator's file of a forwarder with an HL7 port, and the codes and names that its HL7 clients use. */
final class OperatorFile {
    static final String SENDER = "CLINIC";

    private OperatorFile() {}

    static String text(Scenario scenario, String address) {
        StringBuilder text = new StringBuilder("[identity]\nshared yes\n\n[mllp line]\naddress " + address
                + "\nnetworks 127.0.0.0/8\nin-flight 1000\n\n[hl7]\ndeadline ZLC-1\nmost-held 100000\n\n[practice "
                + "clinic]\nsenders "
                + SENDER
                + '\n');
        for (int c = 0; c < scenario.classes().size(); c++) {
            text.append("\n[hl7-class ")
                    .append(scenario.classes().get(c).name())
                    .append("]\nevents ")
                    .append(eventCode(c))
                    .append('\n');
        }
        for (int d = 0; d < scenario.fleet().destinations(); d++) {
            text.append("\n[hl7-destination ")
                    .append(d)
                    .append("]\nreceivers ")
                    .append(receiverName(d))
                    .append('\n');
        }
        return text.toString();
    }

    static String eventCode(int messageClass) {
        return String.format(Locale.ROOT, "ORM^O%02d", messageClass + 1);
    }

    static String receiverName(int destination) {
        return "PARTNER" + destination;
    }
}
