package gateway

import (
	"errors"
	"io"
	"mime"
	"mime/multipart"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/job"
)

const (
	purposeBatch       = "batch"
	purposeBatchOutput = "batch_output"
	objectFile         = "file"
	partFile           = "file"
	partPurpose        = "purpose"
	maxPurposeBytes    = 64
	// maxExtraParts bounds parts that this interface does not read.
	maxExtraParts = 16
	contentJSONL  = "application/jsonl"
)

// fileBody is OpenAI's file object.
type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

type deletedBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func fileBodyOf(file job.File) fileBody {
	return fileBody{
		ID: file.ID, Object: objectFile, Bytes: file.Bytes, CreatedAt: file.CreatedAt.Unix(),
		Filename: file.Name, Purpose: file.Purpose, Status: "processed",
	}
}

func (s *Server) uploadFile(w http.ResponseWriter, r *http.Request, call call) error {
	upload := newUploadBody(w, r, s.limits.MaxBatchFileBytes, s.limits.BodyTimeout)
	_, parameters, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || parameters["boundary"] == "" {
		return invalid("the body must be multipart/form-data with the parts file and purpose")
	}
	file, err := s.storeUpload(r, call, multipart.NewReader(upload, parameters["boundary"]))
	if err != nil {
		return err
	}
	upload.end()
	writeJSON(w, http.StatusOK, fileBodyOf(file))
	return nil
}

// storeUpload stores the file part as it streams in. The purpose may come behind it; where
// it is then found wrong the file is deleted again.
func (s *Server) storeUpload(r *http.Request, call call, parts *multipart.Reader) (job.File, error) {
	var file job.File
	var purposeError error
	stored, purposeSeen := false, false
	for count := 0; ; count++ {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil && count > maxExtraParts {
			err = invalid("too many parts")
		}
		if err == nil {
			switch part.FormName() {
			case partPurpose:
				purposeSeen = true
				purposeError = checkPurpose(part)
			case partFile:
				if stored {
					err = invalid("file: only one is accepted")
					break
				}
				file, err = s.putPart(r, call, part)
				stored = err == nil
			}
		}
		if err != nil {
			s.dropFile(r, call, file, stored)
			return job.File{}, bodyError(err)
		}
	}
	if purposeError == nil && !purposeSeen {
		purposeError = invalid("purpose: is required")
	}
	if purposeError != nil {
		s.dropFile(r, call, file, stored)
		return job.File{}, bodyError(purposeError)
	}
	if !stored {
		return job.File{}, invalid("file: is required")
	}
	return file, nil
}

func checkPurpose(part io.Reader) error {
	purpose, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
	if err != nil {
		return err
	}
	if string(purpose) != purposeBatch {
		return invalid(`purpose: must be "batch"`)
	}
	return nil
}

// putPart stores one part. An error of the body comes back as such, not as the store's.
func (s *Server) putPart(r *http.Request, call call, part *multipart.Part) (job.File, error) {
	content := &failingReader{reader: part}
	file, err := s.files.Put(r.Context(), call.tenant.Name, part.FileName(), purposeBatch, content)
	if content.err != nil {
		if err == nil {
			s.dropFile(r, call, file, true)
		}
		return job.File{}, content.err
	}
	return file, err
}

// failingReader remembers the error of the reader below it.
type failingReader struct {
	reader io.Reader
	err    error
}

// Read reads on.
func (f *failingReader) Read(into []byte) (int, error) {
	count, err := f.reader.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		f.err = err
	}
	return count, err
}

func (s *Server) dropFile(r *http.Request, call call, file job.File, stored bool) {
	if !stored {
		return
	}
	if err := s.files.Delete(r.Context(), call.tenant.Name, file.ID); err != nil {
		s.logger.Warn().Err(err).Str("file", file.ID).Msg("file of a refused upload could not be deleted")
	}
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, call call) error {
	asked, err := pageOf(r)
	if err != nil {
		return err
	}
	if purpose := r.URL.Query().Get("purpose"); purpose != "" && purpose != purposeBatch {
		writeJSON(w, http.StatusOK, listBody[fileBody]{Object: objectList, Data: []fileBody{}})
		return nil
	}
	files, err := s.files.List(r.Context(), call.tenant.Name, asked.after, asked.limit+1)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, makePage(files, asked, fileBodyOf, func(file fileBody) string { return file.ID }))
	return nil
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, call call) error {
	id := mux.Vars(r)["file"]
	if output, is := parseOutputID(id); is {
		body, err := s.outputFile(r, call, output)
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, body)
		return nil
	}
	file, err := s.files.Get(r.Context(), call.tenant.Name, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, fileBodyOf(file))
	return nil
}

func (s *Server) getFileContent(w http.ResponseWriter, r *http.Request, call call) error {
	id := mux.Vars(r)["file"]
	if output, is := parseOutputID(id); is {
		return s.writeOutput(w, r, call, output)
	}
	if _, err := s.files.Get(r.Context(), call.tenant.Name, id); err != nil {
		return err
	}
	content := newContentWriter(w, s.limits.BodyTimeout)
	if err := s.files.Read(r.Context(), call.tenant.Name, id, content); err != nil {
		return content.fail(err)
	}
	return content.end()
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request, call call) error {
	id := mux.Vars(r)["file"]
	if _, is := parseOutputID(id); is {
		return invalid("results are deleted when their retention ends")
	}
	if err := s.files.Delete(r.Context(), call.tenant.Name, id); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, deletedBody{ID: id, Object: objectFile, Deleted: true})
	return nil
}
