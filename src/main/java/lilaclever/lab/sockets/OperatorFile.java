package lilaclever.lab.sockets;

import java.util.Locale;
import lilaclever.lab.scenario.Scenario;

/** The operator's file of a forwarder that has an HL7 port too, and the terms that its clients use. */
final class OperatorFile {
    static final String SENDER = "CLINIC";

    private OperatorFile() {}

    static String text(Scenario s, String address) {
        StringBuilder all = new StringBuilder("[identity]\nshared yes\n\n[mllp line]\naddress " + address
                + "\nnetworks 127.0.0.0/8\nin-flight 1000\n\n[hl7]\ndeadline ZLC-1\nmost-held 100000\n\n[practice "
                + "clinic]\nsenders "
                + SENDER
                + '\n');
        for (int c = 0; c < s.classes().size(); c++) {
            all.append("\n[hl7-class ")
                    .append(s.classes().get(c).name())
                    .append("]\nevents ")
                    .append(eventCode(c))
                    .append('\n');
        }
        for (int d = 0; d < s.fleet().destinations(); d++) {
            all.append("\n[hl7-destination ")
                    .append(d)
                    .append("]\nreceivers ")
                    .append(receiverName(d))
                    .append('\n');
        }
        return all.toString();
    }

    static String eventCode(int messageClass) {
        return String.format(Locale.ROOT, "ORM^O%02d", messageClass + 1);
    }

    static String receiverName(int destination) {
        return "PARTNER" + destination;
    }
}
